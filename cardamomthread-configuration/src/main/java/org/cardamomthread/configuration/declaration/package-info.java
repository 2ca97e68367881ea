/**
 * Loads and validates what operators declare: profiles, services, data centres, client accounts and
 * endpoint classes.
 */
package org.cardamomthread.configuration.declaration;
