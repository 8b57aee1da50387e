package quartzspan.controlplane;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.Settings;
import sun.misc.Signal;

/** The program of a core machine. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);

    private Main() {}

    /** Takes no arguments: all comes from the settings file. */
    public static void main(String[] args) {
        try {
            run(Settings.load());
        } catch (Exception e) {
            Settings.refuse(e, LOG::error);
        }
    }

    /** Starts the core machine and ties it to the process's signals; returns once it listens. */
    public static void run(Settings settings) throws Exception {
        // Nothing of a core machine's settings may change while it runs.
        Signal.handle(new Signal("HUP"), signal -> {});
        ControlPlane controlPlane = ControlPlane.start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(controlPlane::stop));
    }
}
