package quartzspan.configuration;

import quartzspan.common.FleetException;

/**
 * Bounds what parsing a JSON document takes. A parsed document can occupy many times its size, so its values are counted before it is
 * parsed.
 *
 * @param maxValues the most values (objects, lists, strings, numbers and literals, with the names of fields)
 * @param maxTextBytes the longest string or number, bytes
 */
public record DocumentLimits(long maxValues, int maxTextBytes) {
    /** The part of the heap that one value of a parsed document may take, at least as much as it does. */
    private static final int BYTES_PER_VALUE = 512;

    private static final int MAX_TEXT_BYTES = 64 * 1024;

    /** Limits for a process that parses one document at a time. */
    public static DocumentLimits forHeap(long heapBytes) {
        return new DocumentLimits(heapBytes / BYTES_PER_VALUE, MAX_TEXT_BYTES);
    }

    /**
     * Checks a document, which need not be valid JSON.
     *
     * @throws FleetException with {@code DOCUMENT_TOO_LARGE} if it exceeds a limit
     */
    public void check(byte[] document) {
        Scan scan = new Scan();
        for (byte next : document) {
            scan.onByte(next);
            if (scan.values > maxValues) {
                throw tooLarge("more than " + maxValues + " values");
            }
            if (scan.textBytes > maxTextBytes) {
                throw tooLarge("a text of more than " + maxTextBytes + " bytes");
            }
        }
    }

    private static FleetException tooLarge(String what) {
        return new FleetException(
                FleetException.Code.DOCUMENT_TOO_LARGE,
                "the document has " + what,
                "send less at once, or raise -Xmx of the core machines");
    }

    /** A pass over a document: counts what a parser would make an object of, and measures strings, numbers and literals. */
    private static final class Scan {
        private long values;
        /** The bytes of the string, number or literal so far; 0 between them. */
        private int textBytes;

        private boolean inString;
        private boolean escaped;

        void onByte(byte next) {
            if (inString) {
                onByteOfString(next);
            } else if (next == '"') {
                inString = true;
                startText();
            } else if (next == '{' || next == '[') {
                values++;
                textBytes = 0;
            } else if (next <= ' ' || next == ',' || next == ':' || next == '}' || next == ']') {
                textBytes = 0;
            } else if (textBytes == 0) {
                startText();
            } else {
                textBytes++;
            }
        }

        private void startText() {
            values++;
            textBytes = 1;
        }

        private void onByteOfString(byte next) {
            textBytes++;
            if (escaped) {
                escaped = false;
            } else if (next == '\\') {
                escaped = true;
            } else if (next == '"') {
                inString = false;
                textBytes = 0;
            }
        }
    }
}
