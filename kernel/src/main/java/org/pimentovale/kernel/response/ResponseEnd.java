package org.pimentovale.kernel.response;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.pimentovale.json.JsonSlice;
import org.pimentovale.kernel.stream.EventStreamParser;
import org.pimentovale.response.BodyFraming;

/**
 * Decides whether a response whose body has ended without a reported failure is whole.
 *
 * <p>A body whose end is not marked ends with its connection, and a connection that was reset may be reported as ended:
 * the operating system reports a reset once, and a write that is still in progress takes that report. Such a body is
 * therefore whole only if the request had been written before. The decision does not depend on load. Immutable and
 * thread safe.
 */
public enum ResponseEnd {
    /** Nothing is missing. */
    WHOLE("whole"),
    /** The stream ended inside an event. */
    INSIDE_EVENT("the stream ended inside an event"),
    /** The connection ended after a part of a line, or after lines without the empty line that ends them. */
    INSIDE_BLOCK("the connection ended inside a block of lines"),
    /** The connection ended before the end of the JSON value, or the value has no end of its own. */
    INSIDE_VALUE("the connection ended without a whole JSON object or array"),
    /** The connection ended before the first event. */
    NO_EVENT("the connection ended without an event"),
    /** The connection ended while the request was still being written. */
    REQUEST_UNWRITTEN("the connection ended while the request was being written"),
    /** The connection ended, and the endpoint takes no connections any more although nothing announced its end. */
    ENDPOINT_ENDED("the connection ended with its endpoint");

    private final String description;

    ResponseEnd(String description) {
        this.description = description;
    }

    /**
     * Judges a response.
     *
     * @param framing how the end of the body is marked
     * @param requestWritten whether all bytes of the request had been passed to the operating system
     * @param events the parser that has seen the whole body; empty if the body is no stream of events
     * @return whether the response is whole, otherwise what is missing
     */
    public static ResponseEnd judge(BodyFraming framing, boolean requestWritten, Optional<EventStreamParser> events) {
        if (events.filter(EventStreamParser::insideEvent).isPresent()) {
            return INSIDE_EVENT;
        }
        if (framing.marksEnd()) {
            return WHOLE;
        }
        if (!requestWritten) {
            return REQUEST_UNWRITTEN;
        }
        if (events.filter(EventStreamParser::insideBlock).isPresent()) {
            return INSIDE_BLOCK;
        }
        return events.filter(parser -> parser.completeEvents() == 0).isPresent() ? NO_EVENT : WHOLE;
    }

    /**
     * Judges a response whose body is a JSON object or array, which marks its own end.
     *
     * @param framing how the end of the body is marked
     * @param requestWritten whether all bytes of the request had been passed to the operating system
     * @param body returns the whole body; called only if nothing else marks its end
     * @return whether the response is whole, otherwise what is missing
     */
    public static ResponseEnd judgeJson(BodyFraming framing, boolean requestWritten, Supplier<byte[]> body) {
        ResponseEnd end = judge(framing, requestWritten, Optional.empty());
        return end == WHOLE && !framing.marksEnd() && !JsonSlice.of(body.get()).isWholeContainer() ? INSIDE_VALUE : end;
    }

    /**
     * Tells whether a response counts as whole only if its endpoint still runs.
     *
     * @param framing how the end of the body is marked
     * @return whether {@link #confirm} has to be asked
     */
    public boolean needsConfirmation(BodyFraming framing) {
        return this == WHOLE && !framing.marksEnd();
    }

    /**
     * Judges again, once it is known whether the endpoint still runs. The operating system closes the connections of a
     * process that crashes in order, as the process does after a whole response.
     *
     * @param endpointEnded whether the endpoint has ended without notice
     * @return this, or {@link #ENDPOINT_ENDED}
     */
    public ResponseEnd confirm(boolean endpointEnded) {
        return this == WHOLE && endpointEnded ? ENDPOINT_ENDED : this;
    }

    /**
     * Returns a text for logs and error messages.
     *
     * @return what has ended, and where
     */
    public String description() {
        return description;
    }

    /**
     * Returns the value for labels of metrics.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
