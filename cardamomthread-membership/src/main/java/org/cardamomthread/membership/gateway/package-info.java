/** Credits that a gateway holds and spends. */
package org.cardamomthread.membership.gateway;
