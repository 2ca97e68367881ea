/**
 * Traffic documents: routes, services and client accounts that operators replace as a whole, under
 * a version of their own.
 */
package org.cardamomthread.configuration.traffic;
