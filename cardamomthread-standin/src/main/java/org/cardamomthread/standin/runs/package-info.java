/** Records of the requests that a stand-in ran. */
package org.cardamomthread.standin.runs;
