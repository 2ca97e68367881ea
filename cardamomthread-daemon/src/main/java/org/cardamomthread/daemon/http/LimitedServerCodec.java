package org.cardamomthread.daemon.http;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Decodes requests within {@link ClientLimits} and encodes the responses by the methods of their
 * requests. Takes the place of {@link io.netty.handler.codec.http.HttpServerCodec}, whose decoder
 * cannot be extended. Confined to the connection's event loop.
 */
final class LimitedServerCodec
        extends CombinedChannelDuplexHandler<LimitedRequestDecoder, HttpResponseEncoder> {

    /** Methods of the requests whose responses have not been encoded, in order. */
    private final Queue<HttpMethod> methods = new ArrayDeque<>();

    LimitedServerCodec(HttpDecoderConfig config, ClientLimits limits) {
        init(new LimitedRequestDecoder(config, limits, methods), new ResponseEncoder());
    }

    LimitedRequestDecoder decoder() {
        return inboundHandler();
    }

    /** Leaves out the bodies that responses to certain methods do not have. */
    private final class ResponseEncoder extends HttpResponseEncoder {

        private HttpMethod method;

        @Override
        protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean isAlwaysEmpty) {
            boolean isTunnel =
                    HttpMethod.CONNECT.equals(method)
                            && response.status().codeClass() == HttpStatusClass.SUCCESS;
            if (!isAlwaysEmpty && isTunnel) {
                response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
                return;
            }
            super.sanitizeHeadersBeforeEncode(response, isAlwaysEmpty);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return super.isContentAlwaysEmpty(response);
            }
            method = methods.poll();
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
        }
    }
}
