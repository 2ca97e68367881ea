/**
 * Reads YAML documents with the source location of each key and validates them against a JSON
 * Schema.
 */
package org.cardamomthread.configuration.document;
