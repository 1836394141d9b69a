package org.pimentovale.kernel.history;

import java.util.Optional;

/**
 * One write of an object, as the store states it.
 *
 * @param name the object's name, unique within its kind
 * @param revision the revision of the object's last change
 * @param stamp the writer's own order of its writes, empty if the object has none
 */
public record ObjectWrite(String name, StoreRevision revision, Optional<WriteStamp> stamp) {}
