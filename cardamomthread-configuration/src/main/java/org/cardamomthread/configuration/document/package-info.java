/** YAML documents with locations, checked against a JSON Schema. */
package org.cardamomthread.configuration.document;
