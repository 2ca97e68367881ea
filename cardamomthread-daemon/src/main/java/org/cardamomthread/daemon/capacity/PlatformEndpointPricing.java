package org.cardamomthread.daemon.capacity;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.gateway.EndpointPricing;
import org.cardamomthread.membership.gateway.EndpointSnapshot;
import org.cardamomthread.policy.routing.EndpointPrice;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Returns the prices that the platform lists, and the prices of a fallback for endpoints that the
 * platform does not list.
 *
 * <p>Thread-safe.
 */
public final class PlatformEndpointPricing implements EndpointPricing {

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformEndpointPricing.class);
    private static final int POLLS_PER_REFRESH = 20;

    private final PlatformClient platform;
    private final EndpointPricing fallback;
    private volatile Map<Key, Double> prices = Map.of();

    /** The combination of attributes that a price applies to. */
    private record Key(DataCentreId dataCentre, EndpointClassId endpointClass, String priceClass) {}

    /**
     * Creates a pricing that uses the fallback until the first refresh.
     *
     * @param platform the platform's API
     * @param fallback returns the prices that the platform does not list, and all reclaim rates
     */
    public PlatformEndpointPricing(PlatformClient platform, EndpointPricing fallback) {
        this.platform = platform;
        this.fallback = fallback;
    }

    /**
     * Starts to refresh the prices periodically.
     *
     * @param control starts the refreshes
     * @param pollMs the interval of notice polls in milliseconds; prices are refreshed once every
     *     {@value #POLLS_PER_REFRESH} intervals
     */
    public void start(ControlThread control, long pollMs) {
        control.execute(this::refresh);
        control.scheduleWithFixedDelay(pollMs * POLLS_PER_REFRESH, this::refresh);
    }

    @Override
    public EndpointPrice getPrice(EndpointSnapshot endpoint) {
        EndpointPrice fallbackPrice = fallback.getPrice(endpoint);
        Key key =
                new Key(
                        endpoint.dataCentre(),
                        endpoint.description().endpointClass(),
                        endpoint.description().priceClass().wireName());
        Double listedPrice = prices.get(key);
        return listedPrice == null
                ? fallbackPrice
                : new EndpointPrice(
                        listedPrice, fallbackPrice.priceClass(), fallbackPrice.reclaimsPerHour());
    }

    private void refresh() {
        platform.listPrices()
                .whenComplete(
                        (listed, failure) -> {
                            if (failure != null) {
                                LOGGER.info(
                                        "cannot read prices from the platform: {}",
                                        failure.getMessage());
                                return;
                            }
                            Map<Key, Double> newPrices = new HashMap<>();
                            for (HostPrice price : listed) {
                                Key key =
                                        new Key(
                                                price.dataCentre(),
                                                price.endpointClass(),
                                                price.priceClass());
                                newPrices.put(key, price.pricePerHour());
                            }
                            prices = newPrices;
                        });
    }
}
