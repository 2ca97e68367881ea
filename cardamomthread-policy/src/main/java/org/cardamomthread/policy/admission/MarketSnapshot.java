package org.cardamomthread.policy.admission;

/**
 * Holds current and typical prices and the current load.
 *
 * <p>Immutable and thread-safe.
 *
 * @param cheapestPricePerHour price per hour of the endpoint with a credit at which the job costs
 *     least, infinite if there is none
 * @param lowerQuartilePricePerHour lower quartile over time of the price per hour of the cheapest
 *     endpoint
 * @param upperQuartilePricePerHour upper quartile over time of the price per hour of the cheapest
 *     endpoint
 * @param cacheSavingsShare share of the job's host time that a cached prompt saves at that
 *     endpoint, 0 to 1
 * @param freeCapacityShare share of the maximum concurrency of all endpoints that is unused, 0 to 1
 */
public record MarketSnapshot(
        double cheapestPricePerHour,
        double lowerQuartilePricePerHour,
        double upperQuartilePricePerHour,
        double cacheSavingsShare,
        double freeCapacityShare) {}
