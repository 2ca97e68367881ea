/** What operators declare: profiles, services, data centres, accounts and endpoint classes. */
package org.cardamomthread.configuration.declaration;
