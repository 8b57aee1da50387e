package quartzspan.controlplane;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.Settings;
import sun.misc.Signal;

/** Entry point of a core machine. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);

    private Main() {}

    /** Takes no arguments: all settings come from the settings file. */
    public static void main(String[] args) {
        try {
            run(Settings.load());
        } catch (Exception e) {
            Settings.exitAfterStartFailure(e, LOG::error);
        }
    }

    /** Starts the core machine, and installs its signal handler and shutdown hook; returns once it listens. */
    public static void run(Settings settings) throws Exception {
        // SIGHUP is ignored: a core machine's settings can't be reloaded while it runs.
        Signal.handle(new Signal("HUP"), signal -> {});
        ControlPlane controlPlane = ControlPlane.start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(controlPlane::stop));
    }
}
