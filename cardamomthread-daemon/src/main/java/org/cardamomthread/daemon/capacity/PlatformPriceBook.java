package org.cardamomthread.daemon.capacity;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.gateway.PriceBook;
import org.cardamomthread.membership.gateway.AvailableEndpoint;
import org.cardamomthread.policy.routing.EndpointPrice;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Knows the platform's prices, and falls back to another book where it names none.
 *
 * <p>Safe for use by several threads.
 */
public final class PlatformPriceBook implements PriceBook {

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformPriceBook.class);
    private static final int POLLS_PER_REFRESH = 20;

    private final PlatformClient platform;
    private final PriceBook fallback;
    private volatile Map<Key, Double> prices = Map.of();

    /** Names what a price is for. */
    private record Key(DataCentreId dataCentre, EndpointClassId endpointClass, String priceClass) {}

    /**
     * Creates a book that knows no price yet.
     *
     * @param platform the platform's API
     * @param fallback knows what the platform does not name
     */
    public PlatformPriceBook(PlatformClient platform, PriceBook fallback) {
        this.platform = platform;
        this.fallback = fallback;
    }

    /**
     * Begins to read the prices now and then.
     *
     * @param control starts the reads
     * @param pollMs the interval of other polls, of which prices take every {@value
     *     #POLLS_PER_REFRESH}th
     */
    public void start(ControlThread control, long pollMs) {
        control.execute(this::refresh);
        control.repeat(pollMs * POLLS_PER_REFRESH, this::refresh);
    }

    @Override
    public EndpointPrice priceOf(AvailableEndpoint endpoint) {
        EndpointPrice usual = fallback.priceOf(endpoint);
        Key key =
                new Key(
                        endpoint.dataCentre(),
                        endpoint.description().endpointClass(),
                        endpoint.description().priceClass().text());
        Double named = prices.get(key);
        return named == null
                ? usual
                : new EndpointPrice(named, usual.priceClass(), usual.reclaimsPerHour());
    }

    private void refresh() {
        platform.listPrices()
                .whenComplete(
                        (listed, failure) -> {
                            if (failure != null) {
                                LOGGER.info(
                                        "no prices from the platform: {}", failure.getMessage());
                                return;
                            }
                            Map<Key, Double> newer = new HashMap<>();
                            for (HostPrice price : listed) {
                                Key key =
                                        new Key(
                                                price.dataCentre(),
                                                price.endpointClass(),
                                                price.priceClass());
                                newer.put(key, price.pricePerHour());
                            }
                            prices = newer;
                        });
    }
}
