/**
 * Traffic documents: routes, services and client accounts, which operators replace as a whole under
 * a version number that they choose.
 */
package org.cardamomthread.configuration.traffic;
