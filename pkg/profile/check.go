package profile

import (
	"fmt"
	"regexp"
	"time"

	"github.com/quetzalstall/quetzalstall/internal/strictjson"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
)

// Limits of an organisation's document.
const (
	// MaxGangAccelerators limits the accelerators of one gang.
	MaxGangAccelerators fleet.Accelerators = 256
	// MaxWaitingLimit is the largest value permitted for MaxWaiting of a profile or an organisation.
	MaxWaitingLimit = 100_000
	// MaxBodyLimit limits the body of a request, because a value in the platform's store holds at most 1 MB.
	MaxBodyLimit fleet.Bytes = 512 << 10
	// MaxInputLimit limits the input of a job, which is stored in the job's record.
	MaxInputLimit fleet.Bytes = 64 << 10
	// MaxRequestTime limits the run time of a request. It is also the longest time that an entry process waits before
	// it sends requests after it has taken over a seat, which is a fixed part of the targets' slots and connections. In
	// this time the requests of the seat's previous holder end.
	MaxRequestTime = 5 * time.Minute
	// MaxGuarantees limits the guaranteed shapes of one organisation.
	MaxGuarantees = 1000
	// MaxProfiles limits the profiles of one organisation.
	MaxProfiles = 200
	// MaxDocumentBytes limits the size of one organisation's document.
	MaxDocumentBytes = 256 << 10
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// ValidName reports whether text is a valid name: 1 to 64 characters of [a-z0-9._-], the first of them a letter or
// digit.
func ValidName(text string) bool {
	return namePattern.MatchString(text)
}

// ParseOrganisation decodes and validates one organisation's document. The error is a strictjson.Problems that lists
// all problems of the document.
func ParseOrganisation(data []byte) (*Organisation, error) {
	var problems strictjson.Problems
	if len(data) > MaxDocumentBytes {
		problems.Add("", "document of %d bytes exceeds %d", len(data), MaxDocumentBytes)
		return nil, problems
	}
	organisation := &Organisation{}
	problems = strictjson.Decode(data, organisation)
	organisation.check(&problems)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return organisation, nil
}

func (organisation *Organisation) check(problems *strictjson.Problems) {
	CheckName(problems, "organisation", string(organisation.ID))
	problems.CheckRange("quota", int64(organisation.Quota), 0, 1_000_000)
	problems.CheckRange("max_waiting", int64(organisation.MaxWaiting), 1, MaxWaitingLimit)
	for i, hash := range organisation.TokenHashes {
		if !hashPattern.MatchString(hash) {
			problems.Add(fmt.Sprintf("token_sha256[%d]", i), "needs 64 hexadecimal digits in lower case")
		}
	}
	problems.CheckRange("guarantees", int64(len(organisation.Guarantees)), 0, MaxGuarantees)
	var total fleet.Accelerators
	for i, guarantee := range organisation.Guarantees {
		path := fmt.Sprintf("guarantees[%d]", i)
		problems.CheckRange(path+".count", int64(guarantee.Count), 1, MaxGuarantees)
		checkShape(problems, path+".shape", guarantee.Shape)
		total += fleet.Accelerators(guarantee.Count) * guarantee.Shape.Total()
	}
	if organisation.Quota > 0 && total > organisation.Quota {
		problems.Add("quota", "quota of %d accelerators is less than the %d that are guaranteed",
			organisation.Quota, total)
	}
	organisation.checkProfiles(problems)
}

func (organisation *Organisation) checkProfiles(problems *strictjson.Problems) {
	problems.CheckRange("profiles", int64(len(organisation.Profiles)), 0, MaxProfiles)
	seen := map[fleet.ProfileName]bool{}
	for i := range organisation.Profiles {
		profile := &organisation.Profiles[i]
		path := fmt.Sprintf("profiles[%d]", i)
		profile.check(problems, path)
		if seen[profile.Name] {
			problems.Add(path+".name", "name %q is used twice", profile.Name)
		}
		seen[profile.Name] = true
		if organisation.Quota > 0 && profile.IsJob() && profile.Shape.Total() > organisation.Quota {
			problems.Add(path+".shape", "gang of %d accelerators exceeds the quota of %d",
				profile.Shape.Total(), organisation.Quota)
		}
	}
}

func (profile *Profile) check(problems *strictjson.Problems, path string) {
	CheckName(problems, path+".name", string(profile.Name))
	limits := path + ".limits"
	problems.CheckRange(limits+".max_waiting", int64(profile.Limits.MaxWaiting), 1, MaxWaitingLimit)
	switch {
	case profile.IsJob() && profile.Service != "":
		problems.Add(path, "has both shape and service; a profile is for jobs or for requests")
	case profile.IsJob():
		checkShape(problems, path+".shape", *profile.Shape)
		problems.CheckRange(limits+".max_body_bytes", int64(profile.Limits.MaxBody), 0, int64(MaxInputLimit))
		problems.CheckDuration(limits+".max_run_time", time.Duration(profile.Limits.MaxRunTime), 0, 90*24*time.Hour)
	case profile.Service != "":
		CheckName(problems, path+".service", string(profile.Service))
		problems.CheckRange(limits+".max_body_bytes", int64(profile.Limits.MaxBody), 1, int64(MaxBodyLimit))
		problems.CheckDuration(limits+".max_run_time", time.Duration(profile.Limits.MaxRunTime),
			time.Millisecond, MaxRequestTime)
		if profile.Checkpoint {
			problems.Add(path+".checkpoint", "requests to a service cannot checkpoint")
		}
	default:
		problems.Add(path, "needs shape for jobs or service for requests")
	}
}

func checkShape(problems *strictjson.Problems, path string, shape fleet.Shape) {
	problems.CheckRange(path+".members", int64(shape.Members), 1, int64(MaxGangAccelerators))
	problems.CheckRange(path+".accelerators", int64(shape.Accelerators), 1, int64(MaxGangAccelerators))
	problems.CheckRange(path+".cores", int64(shape.Cores), 0, 4096)
	problems.CheckRange(path+".memory_bytes", int64(shape.Memory), 0, 64<<40)
	if total := shape.Total(); total > MaxGangAccelerators {
		problems.Add(path, "gang of %d accelerators exceeds %d", total, MaxGangAccelerators)
	}
}

// CheckName adds a problem if name is not valid.
func CheckName(problems *strictjson.Problems, path, name string) {
	if !ValidName(name) {
		problems.Add(path, "needs 1 to 64 characters of [a-z0-9._-], the first a letter or digit; got %q", name)
	}
}
