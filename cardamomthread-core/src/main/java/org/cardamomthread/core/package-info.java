/** Error base type shared by every slice. */
package org.cardamomthread.core;
