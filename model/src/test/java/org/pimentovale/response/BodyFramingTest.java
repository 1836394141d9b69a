package org.pimentovale.response;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Verifies which responses mark the end of their bodies. */
class BodyFramingTest {
    private static BodyFraming framing(String transferEncoding, String contentLength) {
        return BodyFraming.of(true, Optional.ofNullable(transferEncoding), Optional.ofNullable(contentLength));
    }

    @Test
    void isReadFromTheHead() {
        assertThat(framing(null, "5")).isEqualTo(BodyFraming.LENGTH);
        assertThat(framing("chunked", null)).isEqualTo(BodyFraming.CHUNKS);
        assertThat(framing("gzip, Chunked", null)).isEqualTo(BodyFraming.CHUNKS);
        assertThat(framing(null, null)).isEqualTo(BodyFraming.CONNECTION);
    }

    @Test
    void isTheConnectionForOtherTransferCodings() {
        assertThat(framing("identity", null)).isEqualTo(BodyFraming.CONNECTION);
        assertThat(framing("identity", "5")).isEqualTo(BodyFraming.CONNECTION);
        assertThat(BodyFraming.of(false, Optional.of("chunked"), Optional.empty()))
                .isEqualTo(BodyFraming.CONNECTION);
    }
}
