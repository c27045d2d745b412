#include <primroselead/platform.h>
#include <primroselead/version.h>

int64_t store_version(int64_t era, int64_t revision)
{
	return era * (PLATFORM_REVISION_MAX + 1) + revision;
}

int64_t store_version_era(int64_t version)
{
	return version / (PLATFORM_REVISION_MAX + 1);
}

int64_t store_version_revision(int64_t version)
{
	return version % (PLATFORM_REVISION_MAX + 1);
}
