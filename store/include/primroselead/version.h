#ifndef PRIMROSELEAD_VERSION_H
#define PRIMROSELEAD_VERSION_H

#include <stdint.h>

/*
 * Versions order all changes of the store. The store counts changes by its
 * revision. When it returns from a copy, its revision goes back and is given
 * out again for other changes, and its era rises. A version has the era in its
 * upper bits and the revision in its lower ones, so that comparing two versions
 * as integers compares the eras first.
 */

/** Returns the version of a revision, from 0 to PLATFORM_REVISION_MAX, in an
 * era, from 0 to PLATFORM_ERA_MAX. */
int64_t store_version(int64_t era, int64_t revision);

/** Return the parts of a version. */
int64_t store_version_era(int64_t version);
int64_t store_version_revision(int64_t version);

#endif
