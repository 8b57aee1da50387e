package quartzspan.http;

import io.netty.buffer.ByteBuf;

/**
 * A request as it is written to a connection.
 *
 * @param bytes head and body
 * @param headBytes the size of the head, bytes; a server may begin to execute the request once it has received that many
 */
record EncodedRequest(ByteBuf bytes, int headBytes) {}
