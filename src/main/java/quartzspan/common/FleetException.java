package quartzspan.common;

/** An error with a code for programs, and a reason and a remedy for operators. */
public final class FleetException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Error codes, each with the exit status of a program that ends with it and the HTTP status of a response. */
    public enum Code {
        SETTINGS_MISSING(3, 500),
        SETTINGS_INVALID(3, 500),
        ADDRESS_TAKEN(4, 500),
        STORE_DAMAGED(5, 500),
        STORE_REFUSES(5, 503),
        CONFIG_UNREADABLE(6, 400),
        CONFIG_INVALID(6, 400),
        CONFIG_STALE(7, 412),
        NOT_PRIMARY(8, 503),
        ORDER_FORGOTTEN(8, 503),
        MESSAGE_INVALID(9, 400),
        DOCUMENT_TOO_LARGE(6, 413),
        REGISTRY_FULL(8, 503),
        REPLICA_BUSY(8, 503);

        private final int exitStatus;
        private final int httpStatus;

        Code(int exitStatus, int httpStatus) {
            this.exitStatus = exitStatus;
            this.httpStatus = httpStatus;
        }

        public int exitStatus() {
            return exitStatus;
        }

        public int httpStatus() {
            return httpStatus;
        }
    }

    private final Code code;
    private final String remedy;

    public FleetException(Code code, String reason, String remedy) {
        super(reason);
        this.code = code;
        this.remedy = remedy;
    }

    /** Returns the first FleetException among a failure and its causes; null if there is none. */
    public static FleetException findIn(Throwable failure) {
        Throwable current = failure;
        while (current != null && !(current instanceof FleetException)) {
            current = current.getCause();
        }
        return (FleetException) current;
    }

    public Code code() {
        return code;
    }

    public String remedy() {
        return remedy;
    }

    @Override
    public String toString() {
        return code + ": " + getMessage() + "; " + remedy;
    }
}
