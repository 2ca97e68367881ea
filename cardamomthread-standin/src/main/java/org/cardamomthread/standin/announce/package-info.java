/** Announcements to the nodes. */
package org.cardamomthread.standin.announce;
