package quartzspan.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Text of the configuration as the value of an HTTP header. A header consists of bytes (RFC 9110, section 5.5), and the HTTP codec
 * represents each byte as one character. Text is sent as UTF-8, so that different texts have different values.
 */
public final class HeaderText {
    private static final int FIRST_NON_ASCII = 0x80;
    private static final char DELETE = 0x7F;

    private HeaderText() {}

    /**
     * Whether a recipient of the header gets exactly this text. It does not if the text is empty, begins or ends with a space (which
     * recipients remove), or has a control character or half of a surrogate pair, which has no encoding in UTF-8.
     */
    public static boolean isSendable(String text) {
        return !text.isEmpty()
                && text.charAt(0) != ' '
                && text.charAt(text.length() - 1) != ' '
                && text.codePoints().allMatch(HeaderText::isSendable);
    }

    private static boolean isSendable(int codePoint) {
        boolean unpairedSurrogate = codePoint >= Character.MIN_SURROGATE && codePoint <= Character.MAX_SURROGATE;
        return codePoint >= ' ' && codePoint != DELETE && !unpairedSurrogate;
    }

    /** The text of a header's value in UTF-8; the value itself if its bytes are not UTF-8. */
    public static String textOf(String value) {
        if (isAscii(value)) {
            return value;
        }
        try {
            ByteBuffer bytes = ByteBuffer.wrap(value.getBytes(StandardCharsets.ISO_8859_1));
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        } catch (CharacterCodingException notUtf8) {
            return value;
        }
    }

    private static boolean isAscii(String text) {
        return text.chars().allMatch(character -> character < FIRST_NON_ASCII);
    }

    /** The value of a header with the text: its UTF-8 bytes, each as one character. */
    public static String valueOf(String text) {
        if (isAscii(text)) {
            return text;
        }
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }
}
