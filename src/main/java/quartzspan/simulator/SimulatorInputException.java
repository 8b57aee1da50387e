package quartzspan.simulator;

import java.io.IOException;

/** Thrown for input that is valid JSON but does not conform to the simulator's protocol. */
final class SimulatorInputException extends IOException {
    private static final long serialVersionUID = 1L;

    SimulatorInputException(String message) {
        super("malformed input: " + message);
    }
}
