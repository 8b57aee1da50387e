package quartzspan.frontend;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.common.Settings;
import sun.misc.Signal;

/** The program of a frontend machine: the proxy that carries clients' requests. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);

    private Main() {}

    /** Takes no arguments: all comes from the settings file. */
    public static void main(String[] args) {
        try {
            FrontendProxy proxy = FrontendProxy.start(Settings.load());
            Signal.handle(new Signal("HUP"), hup -> reload(proxy));
            Runtime.getRuntime().addShutdownHook(new Thread(proxy::leave));
        } catch (Exception why) {
            Settings.refuse(why, LOG::error);
        }
    }

    private static synchronized void reload(FrontendProxy proxy) {
        try {
            proxy.reload(Settings.load());
        } catch (FleetException why) {
            LOG.error("the settings stay as they were: {}", why.toString());
        }
    }
}
