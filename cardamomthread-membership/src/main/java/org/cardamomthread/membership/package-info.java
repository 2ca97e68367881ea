/** Node and endpoint liveness, homes, leased credits. */
package org.cardamomthread.membership;
