package org.cardamomthread.experiments.replay;

import org.cardamomthread.policy.profile.PriceClass;

/**
 * The constant properties of a simulated endpoint.
 *
 * @param pool the calls that it serves
 * @param dataCentre index of its data centre, from 0
 * @param priceClass price class of its host
 * @param warmConcurrency limit of concurrent requests once warm
 * @param coldConcurrency limit of concurrent requests while cold
 * @param prefillTokensPerSecond prompt tokens processed per second
 * @param decodeTokensPerSecond tokens generated per second for a single running request
 * @param maxCacheBlocks capacity of its prefix cache in blocks
 */
record EndpointSpec(
        Call.Pool pool,
        int dataCentre,
        PriceClass priceClass,
        int warmConcurrency,
        int coldConcurrency,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        int maxCacheBlocks) {

    EndpointSpec withPlacement(int newDataCentre, PriceClass newPriceClass) {
        return new EndpointSpec(
                pool,
                newDataCentre,
                newPriceClass,
                warmConcurrency,
                coldConcurrency,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                maxCacheBlocks);
    }
}
