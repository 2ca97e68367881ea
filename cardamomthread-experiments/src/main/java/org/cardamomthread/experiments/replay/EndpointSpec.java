package org.cardamomthread.experiments.replay;

import org.cardamomthread.policy.profile.PriceClass;

/**
 * Describes a fake endpoint. Immutable.
 *
 * @param pool the calls that it serves
 * @param dataCentre number of its data centre, from zero
 * @param priceClass how its host is paid for
 * @param warmRequests requests that it bears when warm
 * @param coldRequests requests that it bears when cold
 * @param prefillTokensPerSecond prompt tokens processed a second
 * @param decodeTokensPerSecond tokens generated a second for a lone request
 * @param cacheBlocks blocks that its prefix cache holds
 */
record EndpointSpec(
        Call.Pool pool,
        int dataCentre,
        PriceClass priceClass,
        int warmRequests,
        int coldRequests,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        int cacheBlocks) {

    EndpointSpec at(int newDataCentre, PriceClass newPriceClass) {
        return new EndpointSpec(
                pool,
                newDataCentre,
                newPriceClass,
                warmRequests,
                coldRequests,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                cacheBlocks);
    }
}
