/** Stand-in for a plain service, without a model. */
package org.cardamomthread.standin.service;
