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
            // Nothing of a core machine's settings may change while it runs.
            Signal.handle(new Signal("HUP"), hup -> {});
            ControlPlane house = ControlPlane.start(Settings.load());
            Runtime.getRuntime().addShutdownHook(new Thread(house::stop));
        } catch (Exception why) {
            Settings.refuse(why, LOG::error);
        }
    }
}
