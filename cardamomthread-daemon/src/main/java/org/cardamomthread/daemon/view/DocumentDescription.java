package org.cardamomthread.daemon.view;

/**
 * Identifies the compressed form of one version of the traffic document. Immutable.
 *
 * @param version version of the document
 * @param lengthBytes length of the document as the operator sent it
 * @param compressedBytes length of the compressed document
 * @param checksum CRC32 of the compressed document
 */
record DocumentDescription(long version, int lengthBytes, int compressedBytes, long checksum) {}
