package org.cardamomthread.policy.admission;

/**
 * Holds what prices and load are now and usually.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param cheapestPrice price an hour of the place with a free credit where the job costs least,
 *     infinite without any
 * @param usualLowPrice price an hour that the cheapest place has a quarter of the time
 * @param usualHighPrice price an hour that the cheapest place exceeds a quarter of the time
 * @param savedShare share of the job's host time that a cached prompt saves there, 0 to 1
 * @param spareShare share of the bearable requests that is free, 0 to 1
 */
public record MarketView(
        double cheapestPrice,
        double usualLowPrice,
        double usualHighPrice,
        double savedShare,
        double spareShare) {}
