package org.cardamomthread.daemon.view;

/**
 * Asks for the part of a compressed document that follows what the gateway holds. Immutable.
 *
 * @param version version of the document
 * @param checksum CRC32 of the compressed document, 0 if the gateway holds nothing of it
 * @param offset number of compressed bytes that the gateway holds; all of them if it needs no
 *     further part
 */
record DocumentPartRequest(long version, long checksum, int offset) {}
