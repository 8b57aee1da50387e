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
            run(Settings.load());
        } catch (Exception e) {
            Settings.refuse(e, LOG::error);
        }
    }

    /** Starts the proxy and ties it to the process's signals; returns once it listens. */
    public static FrontendProxy run(Settings settings) throws Exception {
        FrontendProxy proxy = FrontendProxy.start(settings);
        Signal.handle(new Signal("HUP"), signal -> reload(proxy));
        Runtime.getRuntime().addShutdownHook(new Thread(proxy::shutDownGracefully));
        return proxy;
    }

    private static synchronized void reload(FrontendProxy proxy) {
        try {
            proxy.reload(Settings.load());
        } catch (FleetException e) {
            LOG.error("the settings stay as they were: {}", e.toString());
        }
    }
}
