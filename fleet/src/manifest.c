#include <primroselead/fleet.h>
#include <stdlib.h>
#include <string.h>

static void finish_route(struct fleet_route *r)
{
	free(r->name);
	free(r->host);
	free(r->prefix);
	for (int i = 0; i < r->nallowed_region; i++)
		free(r->allowed_region[i]);
	free(r->allowed_region);
	for (int i = 0; i < r->nsplit; i++)
		free(r->split[i].service);
	free(r->split);
}

void fleet_workspace_finish(struct fleet_workspace *w)
{
	free(w->name);
	free(w->key);
	for (int i = 0; i < w->nallowed_region; i++)
		free(w->allowed_region[i]);
	free(w->allowed_region);
	memset(w, 0, sizeof(*w));
}

void fleet_manifest_finish(struct fleet_manifest *m)
{
	for (int i = 0; i < m->nroute; i++)
		finish_route(&m->route[i]);
	for (int i = 0; i < m->nservice; i++) {
		free(m->service[i].name);
		free(m->service[i].health_path);
	}
	for (int i = 0; i < m->nworkspace; i++)
		fleet_workspace_finish(&m->workspace[i]);
	free(m->workspace);
	free(m->route);
	free(m->service);
	memset(m, 0, sizeof(*m));
}

int fleet_has_health_path(const struct fleet_service *s)
{
	return s->health_path && s->health_path[0] == '/';
}

const struct fleet_service *fleet_find_service(const struct fleet_manifest *m,
					       const char *name)
{
	for (int i = 0; i < m->nservice; i++)
		if (!strcmp(m->service[i].name, name))
			return &m->service[i];
	return NULL;
}
