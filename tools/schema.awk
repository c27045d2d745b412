# Generates the C header, the C table and the reference page of one schema
# file. Usage: awk -f tools/schema.awk -v out=header|table|page FILE.def
#
# A schema file holds one "# file" line, then "section" and "key" lines:
#   section NAME once|many HELP
#   key NAME TYPE[ CHOICES] DEFAULT MIN MAX UNIT HELP

function ctype(t)
{
	if (t == "int")
		return "int64_t "
	if (t == "enum")
		return "int "
	if (t == "list")
		return "struct prl_list "
	return "char "
}

function upper(s)
{
	gsub(/-/, "_", s)
	return toupper(s)
}

function rest(from,   i, s)
{
	s = $from
	for (i = from + 1; i <= NF; i++)
		s = s " " $i
	return s
}

/^# file / {
	file = $3
	sub(":", "", file)
	title = rest(4)
	next
}
/^section / {
	ns++
	sname[ns] = $2
	smany[ns] = $3 == "many"
	shelp[ns] = rest(4)
	next
}
/^key / {
	nk++
	ksec[nk] = ns
	kname[nk] = $2
	ktype[nk] = $3
	kdef[nk] = $4
	if ($3 == "enum") {
		kenum[nk] = $5
		kmin[nk] = $6
		kmax[nk] = $7
		kunit[nk] = "-"
		khelp[nk] = rest(8)
		next
	}
	kmin[nk] = $5
	kmax[nk] = $6
	kunit[nk] = $7
	khelp[nk] = rest(8)
	next
}

function header(   i, k, n, e, j)
{
	printf "/* Generated from schema/def/%s.def; do not edit. */\n", file
	printf "#ifndef PRIMROSELEAD_%s_H\n", toupper(file)
	printf "#define PRIMROSELEAD_%s_H\n\n", toupper(file)
	print "#include <primroselead/schema.h>"
	print "#include <stdint.h>\n"
	for (k = 1; k <= nk; k++) {
		if (ktype[k] != "enum")
			continue
		printf "/** Values of %s.%s. */\n", sname[ksec[k]], kname[k]
		printf "enum prl_%s_%s {\n", sname[ksec[k]], kname[k]
		n = split(kenum[k], e, ",")
		for (j = 1; j <= n; j++)
			printf "\tPRL_%s_%s_%s = %d,\n", upper(sname[ksec[k]]), upper(kname[k]), upper(e[j]), j - 1
		print "};\n"
	}
	for (i = 1; i <= ns; i++) {
		printf "/** [%s] %s */\n", sname[i], shelp[i]
		printf "struct prl_%s_%s {\n", file, sname[i]
		print "\t/** Second word of the section's heading; empty if none. */"
		print "\tchar label[PRL_NAME_MAX];"
		print "\t/** Line of the section's heading; 0 if it is absent. */"
		print "\tint line;"
		for (k = 1; k <= nk; k++) {
			if (ksec[k] != i)
				continue
			printf "\t/** %s%s */\n", khelp[k], kunit[k] == "-" ? "" : " Unit: " kunit[k] "."
			printf "\t%s%s", ctype(ktype[k]), kname[k]
			if (ktype[k] == "string")
				printf "[PRL_NAME_MAX]"
			if (ktype[k] == "address")
				printf "[PRL_ADDRESS_MAX]"
			print ";"
		}
		print "};\n"
	}
	printf "/** %s. */\n", title
	printf "struct prl_%s {\n", file
	for (i = 1; i <= ns; i++) {
		if (smany[i])
			printf "\tstruct prl_%s_%s *%s;\n\tint n%s;\n", file, sname[i], sname[i], sname[i]
		else
			printf "\tstruct prl_%s_%s %s;\n", file, sname[i], sname[i]
	}
	print "};\n"
	printf "/** Parser table of this file kind. */\n"
	printf "extern const struct prl_schema prl_%s_schema;\n\n", file
	print "#endif"
}

function table(   i, k, n, e, j, s)
{
	printf "/* Generated from schema/def/%s.def; do not edit. */\n", file
	printf "#include <primroselead/%s.h>\n#include <stddef.h>\n\n", file
	for (k = 1; k <= nk; k++) {
		if (ktype[k] != "enum")
			continue
		printf "static const char *const %s_%s_values[] = {", sname[ksec[k]], kname[k]
		n = split(kenum[k], e, ",")
		for (j = 1; j <= n; j++)
			printf "\"%s\", ", e[j]
		print "0};\n"
	}
	for (i = 1; i <= ns; i++) {
		printf "static const struct prl_key %s_keys[] = {\n", sname[i]
		for (k = 1; k <= nk; k++) {
			if (ksec[k] != i)
				continue
			s = "struct prl_" file "_" sname[i]
			printf "\t{.name = \"%s\", .type = PRL_TYPE_%s, ", kname[k], toupper(ktype[k])
			printf ".offset = offsetof(%s, %s), ", s, kname[k]
			if (kdef[k] == "required")
				printf ".required = 1, "
			else if (kdef[k] != "-")
				printf ".preset = \"%s\", ", kdef[k]
			if (ktype[k] == "int")
				printf ".min = %s, .max = %s, ", kmin[k], kmax[k]
			if (ktype[k] == "enum")
				printf ".values = %s_%s_values, ", sname[i], kname[k]
			printf ".unit = \"%s\"},\n", kunit[k] == "-" ? "" : kunit[k]
		}
		print "\t{0},\n};\n"
	}
	printf "static const struct prl_section sections[] = {\n"
	for (i = 1; i <= ns; i++) {
		s = "struct prl_" file
		printf "\t{.name = \"%s\", .many = %d, .keys = %s_keys, ", sname[i], smany[i], sname[i]
		printf ".size = sizeof(%s_%s), ", s, sname[i]
		printf ".offset = offsetof(%s, %s)", s, sname[i]
		if (smany[i])
			printf ", .count_offset = offsetof(%s, n%s)", s, sname[i]
		print "},"
	}
	print "\t{0},\n};\n"
	printf "const struct prl_schema prl_%s_schema = {\n", file
	printf "\t.name = \"%s\",\n\t.size = sizeof(struct prl_%s),\n\t.sections = sections,\n};\n", file, file
}

function page(   i, k, r)
{
	printf "# Reference: %s file\n\n", file
	printf "%s. Written from `schema/def/%s.def`.\n", toupper(substr(title, 1, 1)) substr(title, 2), file
	for (i = 1; i <= ns; i++) {
		printf "\n## [%s%s]\n\n%s%s\n\n", sname[i], smany[i] ? " LABEL" : "", shelp[i], smany[i] ? " May stand more than once, each with its own label." : ""
		print "| key | type | default | allowed | unit | meaning |"
		print "| --- | --- | --- | --- | --- | --- |"
		for (k = 1; k <= nk; k++) {
			if (ksec[k] != i)
				continue
			r = "any"
			if (ktype[k] == "int")
				r = kmin[k] " to " kmax[k]
			if (ktype[k] == "enum") {
				r = kenum[k]
				gsub(/,/, ", ", r)
			}
			if (ktype[k] == "address")
				r = "IP number and port"
			printf "| %s | %s | %s | %s | %s | %s |\n", kname[k], ktype[k], kdef[k] == "-" ? "none" : kdef[k], r, kunit[k], khelp[k]
		}
	}
}

END {
	if (out == "header")
		header()
	if (out == "table")
		table()
	if (out == "page")
		page()
}
