/** Homes of endpoints: which node is home, what the endpoint announced, the credits lent. */
package org.cardamomthread.membership.home;
