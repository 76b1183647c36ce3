package config

import (
	"fmt"
	"math"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/gentiansail/gentiansail/internal/jsonc"
	"github.com/gentiansail/gentiansail/internal/wire"
)

// Bounds of what a configuration may ask for.
const (
	// MaxPartitions bounds the routing table that every node holds.
	MaxPartitions = 65536
	// maxMoveBudget keeps planned moves well below a whole service at a time.
	maxMoveBudget = 1024
	// maxDeadlineMillis is the retention of the records of operations: a request
	// that outlives its record could run a second time.
	maxDeadlineMillis wire.Millis = 24 * 60 * 60 * 1000
	// maxNameBytes is the longest name; names appear in headers and metrics.
	maxNameBytes = 63
)

// methods are those that callers may use. CONNECT and TRACE are not requests to
// a target.
var methods = []string{
	http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPatch, http.MethodPost, http.MethodPut,
}

var classes = []wire.RouteClass{wire.RouteClassCritical, wire.RouteClassNormal, wire.RouteClassBrowse}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// headerPattern is a field name of RFC 9110.
var headerPattern = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")

// ValidName reports whether s can name a region, a failure domain, a service, a
// route, a node, a replica or a group: 1 to 63 lower-case letters, digits and
// inner hyphens.
func ValidName(s string) bool {
	return len(s) <= maxNameBytes && namePattern.MatchString(s)
}

// Check returns everything that is wrong with c, whatever its source. Fields are
// named by their position, such as Routes[2].Path.
func Check(c wire.Configuration) []error {
	return asErrors(check(c))
}

// CheckChange returns what forbids the change from one accepted configuration to
// the next: keys hash to a fixed number of partitions, so the number cannot
// change while the service exists.
func CheckChange(from, to wire.Configuration) []error {
	before := make(map[wire.ServiceName]wire.ServiceConfig)
	for _, s := range from.Services {
		before[s.Name] = s
	}
	var k checker
	for i, s := range to.Services {
		b, ok := before[s.Name]
		if ok && b.Partitions != s.Partitions {
			k.fail(fmt.Sprintf("Services[%d].Partitions", i),
				"service %q has %d partitions; the number cannot change to %d while the service exists", s.Name, b.Partitions, s.Partitions)
		}
	}
	return asErrors(k.problems)
}

// Validate is Check and CheckChange as one error, for a control replica.
func Validate(current, next wire.Configuration) error {
	errs := append(Check(next), CheckChange(current, next)...)
	if len(errs) == 0 {
		return nil
	}
	text := make([]string, len(errs))
	for i, e := range errs {
		text[i] = e.Error()
	}
	return merry.Wrap(ErrInvalid, merry.WithMessage("invalid configuration: "+strings.Join(text, "; ")))
}

func asErrors(p jsonc.Problems) []error {
	var out []error
	for _, q := range p {
		out = append(out, q)
	}
	return out
}

func check(c wire.Configuration) jsonc.Problems {
	var k checker
	k.regions(c.Regions)
	keyed := k.services(c.Services)
	k.routes(c.Routes, keyed)
	k.callerLimits(c.CallerLimits)
	return k.problems
}

type checker struct {
	problems jsonc.Problems
}

func (k *checker) fail(field, format string, args ...any) {
	k.problems = append(k.problems, &jsonc.Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

// name checks a name and that it is the first of its kind; seen gives the field
// that used it before.
func (k *checker) name(field, name, kind string, seen map[string]string) {
	if name == "" {
		k.fail(field, "is missing")
		return
	}
	if !ValidName(name) {
		k.fail(field, "%q is not a name: 1 to %d lower-case letters, digits and inner hyphens", name, maxNameBytes)
		return
	}
	if _, ok := seen[name]; ok {
		k.fail(field, "%s %q is declared twice", kind, name)
		return
	}
	seen[name] = field
}

func (k *checker) regions(regions []wire.RegionConfig) {
	names := make(map[string]string)
	domains := make(map[string]string)
	for i, r := range regions {
		field := fmt.Sprintf("Regions[%d]", i)
		k.name(field+".Name", string(r.Name), "region", names)
		if len(r.FailureDomains) == 0 {
			k.fail(field+".FailureDomains", "must name at least one failure domain")
		}
		for j, d := range r.FailureDomains {
			k.name(fmt.Sprintf("%s.FailureDomains[%d]", field, j), string(d), "failure domain", domains)
		}
	}
}

// services returns whether each declared service is keyed.
func (k *checker) services(services []wire.ServiceConfig) map[wire.ServiceName]bool {
	names := make(map[string]string)
	keyed := make(map[wire.ServiceName]bool)
	for i, s := range services {
		field := fmt.Sprintf("Services[%d]", i)
		k.name(field+".Name", string(s.Name), "service", names)
		keyed[s.Name] = s.Keyed
		k.partitions(field, s)
	}
	return keyed
}

func (k *checker) partitions(field string, s wire.ServiceConfig) {
	if !s.Keyed {
		if s.Partitions != 0 {
			k.fail(field+".Partitions", "must be absent because the service is not keyed")
		}
		if s.MoveBudget != 0 {
			k.fail(field+".MoveBudget", "must be absent because the service is not keyed")
		}
		return
	}
	if s.Partitions < 1 || s.Partitions > MaxPartitions {
		k.fail(field+".Partitions", "must be 1 to %d", MaxPartitions)
	}
	if s.MoveBudget < 1 || s.MoveBudget > maxMoveBudget {
		k.fail(field+".MoveBudget", "must be 1 to %d", maxMoveBudget)
	}
}

func (k *checker) routes(routes []wire.RouteConfig, keyed map[wire.ServiceName]bool) {
	names := make(map[string]string)
	targets := make(map[string]wire.RouteName)
	for i, r := range routes {
		field := fmt.Sprintf("Routes[%d]", i)
		k.name(field+".Name", string(r.Name), "route", names)
		k.routeService(field, r, keyed)
		k.routeMethods(field, r)
		k.routePath(field, r)
		k.routeConflict(field, r, targets)
		if !slices.Contains(classes, r.Class) {
			k.fail(field+".Class", "%q is not a class: critical, normal or browse", r.Class)
		}
		if r.DeadlineMillis < 1 || r.DeadlineMillis > maxDeadlineMillis {
			k.fail(field+".DeadlineMillis", "must be 1 to %d", maxDeadlineMillis)
		}
	}
}

func (k *checker) routeService(field string, r wire.RouteConfig, keyed map[wire.ServiceName]bool) {
	isKeyed, ok := keyed[r.Service]
	switch {
	case r.Service == "":
		k.fail(field+".Service", "is missing")
	case !ok:
		k.fail(field+".Service", "service %q is not declared", r.Service)
	case isKeyed && r.Key == nil:
		k.fail(field+".Key", "is missing, and service %q is keyed", r.Service)
	case !isKeyed && r.Key != nil:
		k.fail(field+".Key", "must be absent because service %q is not keyed", r.Service)
	}
	if r.Key != nil {
		k.key(field+".Key", *r.Key)
	}
}

func (k *checker) key(field string, s wire.KeySource) {
	switch s.From {
	case wire.KeyLocationPathSegment:
		if s.Segment < 1 {
			k.fail(field+".Segment", "must be 1 or more")
		}
		if s.Name != "" {
			k.fail(field+".Name", "must be absent with PathSegment")
		}
		return
	case wire.KeyLocationHeader:
		if !headerPattern.MatchString(s.Name) {
			k.fail(field+".Name", "%q is not a header name", s.Name)
		}
	case wire.KeyLocationQuery:
		if s.Name == "" {
			k.fail(field+".Name", "is missing")
		}
	default:
		k.fail(field+".From", "%q is not a place of keys: PathSegment, Header or Query", s.From)
		return
	}
	if s.Segment != 0 {
		k.fail(field+".Segment", "must be absent with %s", s.From)
	}
}

func (k *checker) routeMethods(field string, r wire.RouteConfig) {
	if len(r.Methods) == 0 {
		k.fail(field+".Methods", "must name at least one method")
	}
	for i, m := range r.Methods {
		at := fmt.Sprintf("%s.Methods[%d]", field, i)
		switch {
		case !slices.Contains(methods, m):
			k.fail(at, "%q is not a method: %s", m, strings.Join(methods, ", "))
		case !r.Repeatable && (m == http.MethodGet || m == http.MethodHead):
			k.fail(at, "%s is repeatable by definition; set Repeatable to true", m)
		}
	}
}

func (k *checker) routePath(field string, r wire.RouteConfig) {
	switch {
	case !strings.HasPrefix(r.Path, "/"):
		k.fail(field+".Path", "must begin with /")
	case strings.ContainsAny(r.Path, "?#% "):
		k.fail(field+".Path", "must not contain ?, #, %% or a space")
	case strings.TrimSuffix(path.Clean(r.Path), "/") != strings.TrimSuffix(r.Path, "/"):
		k.fail(field+".Path", "must not contain empty segments, . or ..")
	}
}

// routeConflict refuses two routes between which a request could not be decided.
func (k *checker) routeConflict(field string, r wire.RouteConfig, targets map[string]wire.RouteName) {
	for i, m := range r.Methods {
		t := m + " " + r.Path
		if other, ok := targets[t]; ok {
			k.fail(fmt.Sprintf("%s.Methods[%d]", field, i), "route %q already takes %s", other, t)
			continue
		}
		targets[t] = r.Name
	}
}

func (k *checker) callerLimits(limits []wire.CallerLimit) {
	seen := make(map[wire.RouteClass]bool)
	for i, l := range limits {
		field := fmt.Sprintf("CallerLimits[%d]", i)
		if !slices.Contains(classes, l.Class) {
			k.fail(field+".Class", "%q is not a class: critical, normal or browse", l.Class)
		} else if seen[l.Class] {
			k.fail(field+".Class", "class %q has two limits", l.Class)
		}
		seen[l.Class] = true
		if !(l.RequestsPerSecond > 0) || math.IsInf(l.RequestsPerSecond, 0) {
			k.fail(field+".RequestsPerSecond", "must be more than 0")
		}
	}
}
