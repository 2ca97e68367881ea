/** Value types for identifiers. */
package org.cardamomthread.core.id;
