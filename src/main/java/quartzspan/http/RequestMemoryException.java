package quartzspan.http;

/** The cause of a decoding failure: there is no memory for the head of a request. The request was not handled. */
final class RequestMemoryException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    RequestMemoryException() {
        super("no memory for the head of a request");
    }
}
