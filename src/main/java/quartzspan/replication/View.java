package quartzspan.replication;

import java.util.ArrayList;
import java.util.List;

/**
 * Who does what from an epoch on.
 *
 * @param epoch the epoch; each has one view at most
 * @param primary who takes changes
 * @param copies who holds the control state, the primary first; every one of them syncs a change before it is answered
 * @param voters who grant epochs: the copies and the witnesses
 */
public record View(long epoch, String primary, List<String> copies, List<String> voters) {
    /** Before anything is known. */
    public static final View NONE = new View(-1, "", List.of(), List.of());

    public View {
        copies = List.copyOf(copies);
        voters = List.copyOf(voters);
    }

    int majority() {
        return voters.size() / 2 + 1;
    }

    /** How a view is written, on disk and between processes. */
    public String text() {
        return epoch + ";" + primary + ";" + String.join(",", copies) + ";" + String.join(",", voters);
    }

    /** Reads {@link #text}; null if it is none. */
    public static View parse(String text) {
        String[] parts = text.split(";", -1);
        if (parts.length != 4) {
            return null;
        }
        try {
            return new View(Long.parseLong(parts[0]), parts[1], names(parts[2]), names(parts[3]));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private static List<String> names(String text) {
        List<String> all = new ArrayList<>(List.of(text.split(",")));
        all.removeIf(String::isEmpty);
        return all;
    }
}
