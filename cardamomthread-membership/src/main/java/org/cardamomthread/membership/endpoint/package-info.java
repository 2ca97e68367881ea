/** What endpoints announce of themselves. */
package org.cardamomthread.membership.endpoint;
