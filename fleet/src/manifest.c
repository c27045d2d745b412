#include <primroselead/fleet.h>
#include <stdlib.h>
#include <string.h>

void fleet_manifest_finish(struct fleet_manifest *m)
{
	free(m->route);
	free(m->service);
	memset(m, 0, sizeof(*m));
}

const struct fleet_service *fleet_find_service(const struct fleet_manifest *m,
					       const char *name)
{
	for (int i = 0; i < m->nservice; i++)
		if (!strcmp(m->service[i].name, name))
			return &m->service[i];
	return NULL;
}
