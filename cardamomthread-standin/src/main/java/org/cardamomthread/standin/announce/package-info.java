/** Announcements of the stand-ins to the nodes. */
package org.cardamomthread.standin.announce;
