/** Loads and validates the settings of one node from a YAML file. */
package org.cardamomthread.configuration.settings;
