/** The settings of one node, read from one YAML file. */
package org.cardamomthread.configuration.settings;
