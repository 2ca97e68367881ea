/** Base exception shared by all modules. */
package org.cardamomthread.core;
