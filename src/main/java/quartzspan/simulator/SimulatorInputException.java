package quartzspan.simulator;

import java.io.IOException;

/** The input is JSON but not the wire. */
final class SimulatorInputException extends IOException {
    private static final long serialVersionUID = 1L;

    SimulatorInputException(String message) {
        super("malformed input: " + message);
    }
}
