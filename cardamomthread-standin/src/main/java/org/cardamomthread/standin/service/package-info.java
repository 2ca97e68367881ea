/** Stand-in for a plain service. */
package org.cardamomthread.standin.service;
