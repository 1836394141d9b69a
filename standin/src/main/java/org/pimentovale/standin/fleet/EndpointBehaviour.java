package org.pimentovale.standin.fleet;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

/** Behaviour of an endpoint stand-in for a received request. Immutable and thread safe. */
public enum EndpointBehaviour {
    /** Sends a complete response. */
    RESPOND {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(head(attempt, "200 OK", BODY.length()) + BODY);
        }
    },
    /** Streams two events and ends the stream. */
    STREAM {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(streamHead(attempt) + chunk("id: 1\ndata: one\n\n"));
            socket.write(chunk("id: 2\ndata: two\n\n") + "0\r\n\r\n");
        }
    },
    /** Responds with 503 and states that the request was not executed. */
    REJECT {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(refusal(attempt));
        }
    },
    /** Writes its refusal of another attempt once more, in parts, and runs the request. */
    REPEAT_REFUSAL_OF_ANOTHER_ATTEMPT {
        @Override
        void respond(NetSocket socket, String attempt) {
            String refusal = refusal("another");
            int half = refusal.length() / 2;
            socket.write(refusal.substring(0, half))
                    .compose(written -> socket.write(refusal.substring(half)))
                    .compose(written -> socket.write(head(attempt, "200 OK", BODY.length()) + BODY));
        }
    },
    /** Rejects the request twice on the same connection. */
    REJECT_TWICE {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(refusal(attempt) + refusal(attempt));
        }
    },
    /** Sends a complete response, followed by a refusal of the same request. */
    RESPOND_THEN_REJECT {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(head(attempt, "200 OK", BODY.length()) + BODY + refusal(attempt));
        }
    },
    /** Streams one event, writes a refusal in place of the next chunk, and closes the connection. */
    REJECT_INSIDE_STREAM {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(streamHead(attempt) + chunk("id: 1\ndata: one\n\n") + refusal(attempt))
                    .onComplete(written -> socket.close());
        }
    },
    /** Responds with 503 without stating that the request was not executed. */
    FAIL_UNAVAILABLE {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(head(attempt, "503 Service Unavailable", BODY.length()) + BODY);
        }
    },
    /** Responds with 500 after executing the request. */
    FAIL {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(head(attempt, "500 Internal Server Error", BODY.length()) + BODY);
        }
    },
    /** Closes the connection without a response. */
    CLOSE {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.close();
        }
    },
    /** Sends half of the body and closes the connection. */
    TRUNCATE {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(head(attempt, "200 OK", BODY.length()) + BODY.substring(0, BODY.length() / 2))
                    .onComplete(written -> socket.close());
        }
    },
    /** Sends a body without a content length, which ends when the connection is closed. */
    OMIT_LENGTH {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: s\r\n\r\n" + BODY)
                    .onComplete(written -> socket.close());
        }
    },
    /** Sends a complete response, followed by a second one. */
    SEND_EXTRA_RESPONSE {
        @Override
        void respond(NetSocket socket, String attempt) {
            String whole = head(attempt, "200 OK", BODY.length()) + BODY;
            socket.write(whole + head("another", "200 OK", BODY.length()) + BODY);
        }
    },
    /** Sends the response of another attempt. */
    MISMATCH_ATTEMPT {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(head("another", "200 OK", BODY.length()) + BODY);
        }
    },
    /** Sends a response without the server stamp. */
    OMIT_STAMP {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nContent-Length: 2\r\n\r\nok");
        }
    },
    /** Sends bytes that are not an HTTP response and closes the connection. */
    SEND_INVALID_HTTP {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(Buffer.buffer(new byte[] {1, 2, 3, 13, 10, 13, 10})).onComplete(written -> socket.close());
        }
    },
    /** Streams one event and closes the connection before the end of the stream. */
    TRUNCATE_STREAM {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(streamHead(attempt) + chunk("id: 1\ndata: one\n\n")).onComplete(written -> socket.close());
        }
    },
    /** Streams two events without a content length or chunks, and closes the connection. */
    STREAM_WITHOUT_FRAMING {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(unframedStreamHead(attempt) + "id: 1\ndata: one\n\nid: 2\ndata: two\n\n")
                    .onComplete(written -> socket.close());
        }
    },
    /** Streams without framing, and closes the connection inside the second event. */
    STREAM_WITHOUT_FRAMING_ENDING_INSIDE_EVENT {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(unframedStreamHead(attempt) + "id: 1\ndata: one\n\nid: 2\nda")
                    .onComplete(written -> socket.close());
        }
    },
    /** Sends the head of a stream without framing, and closes the connection. */
    STREAM_WITHOUT_FRAMING_OR_EVENTS {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(unframedStreamHead(attempt)).onComplete(written -> socket.close());
        }
    },
    /** Streams in chunks that end properly, but inside the second event. */
    STREAM_ENDING_INSIDE_EVENT {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(streamHead(attempt) + chunk("id: 1\ndata: one\n\nid: 2\ndata: tw") + "0\r\n\r\n");
        }
    },
    /** Streams one event, then sends nothing more and keeps the connection open. */
    STALL_STREAM {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(streamHead(attempt) + chunk("id: 1\ndata: one\n\n"));
        }
    },
    /** Sends half of the body, then nothing more, and keeps the connection open. */
    STALL_BODY {
        @Override
        void respond(NetSocket socket, String attempt) {
            socket.write(head(attempt, "200 OK", BODY.length()) + BODY.substring(0, BODY.length() / 2));
        }
    },
    /** Sends no response and keeps the connection open. */
    HANG {
        @Override
        void respond(NetSocket socket, String attempt) {
            // No response is sent.
        }
    };

    /** The body of complete responses. */
    public static final String BODY = "{\"bench\":\"free\"}";

    abstract void respond(NetSocket socket, String attempt);

    private static String head(String attempt, String status, int length) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Server-Stamp: stamp-1\r\nX-Instance-Load: 1,0,6\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static String refusal(String attempt) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    static String streamHead(String attempt) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Server-Stamp: stamp-1\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String unframedStreamHead(String attempt) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Server-Stamp: stamp-1\r\nContent-Type: text/event-stream\r\n\r\n";
    }

    static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }
}
