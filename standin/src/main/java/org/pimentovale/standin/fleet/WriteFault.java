package org.pimentovale.standin.fleet;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** What happens to a write that the store receives. */
public enum WriteFault {
    /** The write is applied and answered at once; the test only learns of it. */
    NONE {
        @Override
        Optional<Runnable> handle(Supplier<StoreWrite.Answer> apply, Consumer<StoreWrite.Answer> send) {
            send.accept(apply.get());
            return Optional.empty();
        }
    },
    /** The write is applied at once, its answer is sent when the test releases it. */
    HOLD_ANSWER {
        @Override
        Optional<Runnable> handle(Supplier<StoreWrite.Answer> apply, Consumer<StoreWrite.Answer> send) {
            StoreWrite.Answer answer = apply.get();
            return Optional.of(() -> send.accept(answer));
        }
    },
    /** The write is applied at once and is never answered. */
    LOSE_ANSWER {
        @Override
        Optional<Runnable> handle(Supplier<StoreWrite.Answer> apply, Consumer<StoreWrite.Answer> send) {
            StoreWrite.Answer unused = apply.get();
            return Optional.empty();
        }
    },
    /** The write is neither applied nor answered. */
    LOSE_WRITE {
        @Override
        Optional<Runnable> handle(Supplier<StoreWrite.Answer> apply, Consumer<StoreWrite.Answer> send) {
            return Optional.empty();
        }
    },
    /** The write is never answered; it is applied when the test releases it, if its condition still holds then. */
    APPLY_LATE {
        @Override
        Optional<Runnable> handle(Supplier<StoreWrite.Answer> apply, Consumer<StoreWrite.Answer> send) {
            return Optional.of(() -> {
                StoreWrite.Answer unused = apply.get();
            });
        }
    };

    /** Handles a write and returns what remains to be done when the test releases it. */
    abstract Optional<Runnable> handle(Supplier<StoreWrite.Answer> apply, Consumer<StoreWrite.Answer> send);
}
