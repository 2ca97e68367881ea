/** Record of the requests that an endpoint ran. */
package org.cardamomthread.standin.runs;
