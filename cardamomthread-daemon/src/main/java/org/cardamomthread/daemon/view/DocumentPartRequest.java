package org.cardamomthread.daemon.view;

/**
 * Asks for the part of a compressed document that follows what the gateway holds. Immutable.
 *
 * @param version version of the document
 * @param checksum CRC32 of the compressed document, 0 if the gateway holds nothing of it
 * @param offset number of compressed bytes that the gateway holds; all of them if it needs no
 *     further part
 * @param maxBytes maximum size of the part, at least 1; the server may send less
 */
record DocumentPartRequest(long version, long checksum, int offset, int maxBytes) {}
