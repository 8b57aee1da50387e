package quartzspan.frontend;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import quartzspan.common.FleetException;
import quartzspan.common.Settings;
import sun.misc.Signal;

/** Main class of a frontend machine's process, which runs the proxy for client requests. */
public final class Main {
    private static final Logger LOG = LoggerFactory.getLogger(Main.class);

    private Main() {}

    /** Takes no arguments: everything is configured in the settings file. */
    public static void main(String[] args) {
        try {
            run(Settings.load());
        } catch (Exception e) {
            Settings.exitAfterStartFailure(e, LOG::error);
        }
    }

    /** Starts the proxy; SIGHUP reloads its settings, SIGTERM shuts it down. Returns once it listens. */
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
            LOG.error("settings not reloaded, the previous ones stay in effect: {}", e.toString());
        }
    }
}
